/** Faults that can be injected into a simulated engine host; all are off by default. */

/** Faults of one host, set through its control route. Counters give how many of the next events are affected. */
export type HostFaults = {
  /** Requests and probes are accepted, but not answered until this is switched off. */
  frozen: boolean;
  /** Factor by which generation takes longer. */
  slowness: number;
  /** Counter: generations that run, but whose connection is cut before the headers of the answer. */
  loseAnswers: number;
  /** Number of tokens after which `cutStreams` and `truncateStreams` end an answer. */
  cutAfterTokens: number;
  /** Counter: answers whose connection is cut after `cutAfterTokens`; the generation continues in the engine. */
  cutStreams: number;
  /** True if a cut or truncated stream is also cancelled, so that it cannot be resumed. */
  forgetCutStreams: boolean;
  /** Counter: answers that name another request. */
  crossAnswers: number;
  /** Counter: answers that carry another epoch. */
  wrongEpochs: number;
  /** Counter: answers that end after `cutAfterTokens` without the end marker. */
  truncateStreams: number;
  /** Counter: requests that are refused before they run. */
  refuse: number;
  /** Counter: requests whose connection is cut on arrival, before they run. */
  cutBeforeRun: number;
};

/** Returns the settings with all faults off. */
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

/** Faults that are counters: each injected fault lowers the counter by one. */
export type FaultCounter =
  | 'loseAnswers'
  | 'cutStreams'
  | 'crossAnswers'
  | 'wrongEpochs'
  | 'truncateStreams'
  | 'refuse'
  | 'cutBeforeRun';

/** Lowers a counter by one and returns true if the fault is to be injected; returns false if the counter is 0. */
export function consumeFault(faults: HostFaults, counter: FaultCounter): boolean {
  if (faults[counter] <= 0) {
    return false;
  }
  faults[counter] -= 1;
  return true;
}
