/** Sends the body of an answer; a long one that its caller does not take gives way when memory is needed. */
import type { RelayServices } from './relay-services.js';
import type { RequestContext } from './request-context.js';

/** Shorter answers never give way, in bytes. */
const LONG_ANSWER_BYTES = 64 * 1024;

/** Ends the response with a body. */
export function endWithBody(
  { memory }: Pick<RelayServices, 'memory'>,
  { response, reservation }: Pick<RequestContext, 'response' | 'reservation'>,
  body: Buffer,
): void {
  if (body.length > LONG_ANSWER_BYTES) {
    const unread = {
      displace: () => {
        reservation.release();
        response.destroy();
      },
    };
    memory.addDisplaceable(unread);
    response.once('close', () => {
      memory.removeDisplaceable(unread);
    });
  }
  response.end(body);
}
