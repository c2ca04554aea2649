/** Faults that an engine host shows; all off by default. */

/** Faults of one host, switched by its control route. */
export type HostFaults = {
  /** Requests and probes are taken and not answered until this is switched off. */
  frozen: boolean;
  /** Generation takes so many times longer. */
  slowness: number;
  /** The next generations run, and the connection is cut before the answer's headers. */
  loseAnswers: number;
  /** The next generations are cut after so many tokens; the stream goes on in the engine. */
  cutAfterTokens: number;
  /** How many generations are cut in that way. */
  cutStreams: number;
  /** A cut stream is forgotten as well, so that it can not be resumed. */
  forgetCutStreams: boolean;
  /** The next answers name another request. */
  crossAnswers: number;
  /** The next answers carry another epoch. */
  wrongEpochs: number;
  /** The next streams end without their end marker. */
  truncateStreams: number;
  /** The next requests are refused before they run. */
  refuse: number;
  /** The next connections are cut as soon as a request arrives, before it runs. */
  cutBeforeRun: number;
};

/** A host without faults. */
export function noFaults(): HostFaults {
  return {
    frozen: false,
    slowness: 1,
    loseAnswers: 0,
    cutAfterTokens: 1,
    cutStreams: 0,
    forgetCutStreams: false,
    crossAnswers: 0,
    wrongEpochs: 0,
    truncateStreams: 0,
    refuse: 0,
    cutBeforeRun: 0,
  };
}

/** Counters among the faults: each hit uses one up. */
export type FaultCounter =
  | 'loseAnswers'
  | 'cutStreams'
  | 'crossAnswers'
  | 'wrongEpochs'
  | 'truncateStreams'
  | 'refuse'
  | 'cutBeforeRun';

/** Uses up one hit of a counter; true when there was one. */
export function hit(faults: HostFaults, counter: FaultCounter): boolean {
  if (faults[counter] <= 0) {
    return false;
  }
  faults[counter] -= 1;
  return true;
}
