/** Watches memory and processor time of a process that a test has started, and ends it when it uses too much memory. */
import { readFileSync } from 'node:fs';

/** Period of the measurements, in milliseconds. */
const PERIOD_MS = 10;
const RESIDENT = /^VmRSS:\s+(\d+) kB$/m;
const KB_PER_MB = 1_024;
/** Unit of processor times in `/proc`, in milliseconds. */
const TICK_MS = 10;
/** Places of the processor times in user and system mode, counted after the name of the program. */
const [USER_TIME, SYSTEM_TIME] = [11, 12] as const;

/** Measures from its creation until it is stopped. */
export class ProcessWatch {
  /** Most resident memory that was seen, in MB. */
  mostMb = 0;
  /** Processor time that the process had used at the last measurement, in milliseconds. */
  cpuMs = 0;
  /** True if the process passed its limit and was ended. */
  hasPassedLimit = false;
  readonly #timer: NodeJS.Timeout;

  /** `pid` is the id of a process of the test's own; `limitMb` the memory of its machine, in MB. */
  constructor(pid: number, limitMb: number) {
    this.#timer = setInterval(() => {
      const usedMb = residentMb(pid);
      if (usedMb === undefined) {
        this.stop();
        return;
      }
      this.mostMb = Math.max(this.mostMb, usedMb);
      this.cpuMs = cpuMs(pid) ?? this.cpuMs;
      if (usedMb > limitMb) {
        this.hasPassedLimit = true;
        this.stop();
        process.kill(pid, 'SIGKILL');
      }
    }, PERIOD_MS);
  }

  /** Stops measuring. */
  stop(): void {
    clearInterval(this.#timer);
  }
}

// Undefined once the process has ended.
function residentMb(pid: number): number | undefined {
  try {
    const kb = RESIDENT.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1];
    return kb === undefined ? undefined : Number(kb) / KB_PER_MB;
  } catch {
    return undefined;
  }
}

function cpuMs(pid: number): number | undefined {
  try {
    const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
    return (Number(fields[USER_TIME]) + Number(fields[SYSTEM_TIME])) * TICK_MS;
  } catch {
    return undefined;
  }
}
