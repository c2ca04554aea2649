import { expect } from 'chai';

import { FailureSeries } from './failure-series.js';
import type { LogFields } from './log.js';

describe('failure series', () => {
  it('logs the first failure with its cause, and the end of the series with the number of failures', () => {
    const lines: { message: string; fields: LogFields | undefined }[] = [];
    const write = (message: string, fields?: LogFields): void => {
      lines.push({ message, fields });
    };
    const series = new FailureSeries({ info: write, warn: write, error: write }, 'renew the lease');
    series.recordSuccess();
    for (let failure = 0; failure < 50; failure++) {
      series.recordFailure(new Error('store is down'));
    }
    series.recordSuccess();
    series.recordSuccess();
    expect(lines).to.deep.equal([
      {
        message: 'action fails',
        fields: { action: 'renew the lease', cause: 'Error: store is down' },
      },
      {
        message: 'action succeeds again',
        fields: { action: 'renew the lease', failures: 50 },
      },
    ]);
  });
});
