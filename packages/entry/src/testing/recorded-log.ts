/** A log whose lines tests read. */
import type { Log, LogFields } from '../server/log.js';

/** A line that was logged. */
export type RecordedLine = { readonly message: string; readonly fields: LogFields };

/** Keeps all lines. */
export class RecordedLog implements Log {
  readonly lines: RecordedLine[] = [];
  readonly info = this.#keep.bind(this);
  readonly warn = this.#keep.bind(this);
  readonly error = this.#keep.bind(this);

  /** Fields of all lines with the message. */
  fieldsOf(message: string): LogFields[] {
    return this.lines.filter(line => line.message === message).map(({ fields }) => fields);
  }

  #keep(message: string, fields: LogFields = {}): void {
    this.lines.push({ message, fields });
  }
}
