/** Opens the connections of the HTTP library undici to upstreams. */
import { connectToUpstream } from '@hingescale/runtime/upstream-socket';
import { buildConnector, errors } from 'undici';

const HTTPS = 'https:';
const HTTP_PORT = 80;

/** Returns a connector whose connections end in an error when they are reset; `timeoutMs` is the time to connect. */
export function upstreamConnector(timeoutMs: number): buildConnector.connector {
  const connectTls = buildConnector({ timeout: timeoutMs });
  return (options, callback) => {
    if (options.protocol === HTTPS) {
      connectTls(options, callback);
    } else {
      connectPlain(options, timeoutMs, callback);
    }
  };
}

function connectPlain(
  { hostname, port }: buildConnector.Options,
  timeoutMs: number,
  callback: buildConnector.Callback,
): void {
  const socket = connectToUpstream({ host: hostname, port: Number(port) || HTTP_PORT });
  const timer = setTimeout(() => {
    socket.destroy(new errors.ConnectTimeoutError(`not connected within ${timeoutMs} ms`));
  }, timeoutMs);
  let isConnected = false;
  socket.on('error', error => {
    clearTimeout(timer);
    // Later errors are the concern of undici, which has its own listener by then.
    if (!isConnected) {
      callback(error, null);
    }
  });
  socket.once('connect', () => {
    clearTimeout(timer);
    isConnected = true;
    callback(null, socket);
  });
}
