/**
 * One HTTP exchange with an upstream, sent at most once.
 *
 * The library calls `onRequestStart` right before it writes the request, and may do so again when
 * it sends a request a second time. The first call is the last moment at which the request can
 * still be held back; a second one is refused.
 */
import type { IncomingHttpHeaders } from 'node:http';

import type { Agent, Dispatcher } from 'undici';

/** What is sent. */
export type ExchangeRequest = {
  readonly url: string;
  readonly method: Dispatcher.HttpMethod;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | Buffer | undefined;
};

/** Watches over an exchange. */
export type ExchangeObserver = {
  /** Asked right before the first byte leaves; false holds the request back. */
  readonly mayStart: () => boolean;
  /** Takes status and headers; false ends the exchange. */
  readonly head: (status: number, headers: IncomingHttpHeaders) => boolean;
  /** Takes body bytes; a promise asks to wait. */
  readonly data: (bytes: Buffer) => Promise<void> | undefined;
};

/** How an exchange ended. */
export type ExchangeEnd =
  /** No byte of the request left this process. */
  | { readonly kind: 'never-sent'; readonly detail: string }
  /** The same, since it might not be sent any more when there was a connection. */
  | { readonly kind: 'held-back'; readonly detail: string }
  /** The connection broke, or the exchange was ended from here. */
  | { readonly kind: 'broken'; readonly detail: string }
  /** The answer came to its end. */
  | { readonly kind: 'ended' };

/** Runs an exchange; never rejects. */
export function exchange(
  agent: Agent,
  request: ExchangeRequest,
  observer: ExchangeObserver,
  signal: AbortSignal,
): Promise<ExchangeEnd> {
  return new Promise(resolve => {
    const handler = new ExchangeHandler(observer, signal, resolve);
    const { origin, pathname, search } = new URL(request.url);
    agent.dispatch(
      {
        origin,
        path: pathname + search,
        method: request.method,
        headers: { ...request.headers },
        body: request.body,
        idempotent: false,
      },
      handler,
    );
  });
}

class ExchangeHandler implements Dispatcher.DispatchHandler {
  readonly #observer: ExchangeObserver;
  readonly #signal: AbortSignal;
  readonly #resolve: (end: ExchangeEnd) => void;
  readonly #onAbort = (): void => {
    this.#controller?.abort(new Error('ended from here'));
  };
  #controller: Dispatcher.DispatchController | undefined;
  #sent = false;
  #isHeldBack = false;

  constructor(
    observer: ExchangeObserver,
    signal: AbortSignal,
    resolve: (end: ExchangeEnd) => void,
  ) {
    this.#observer = observer;
    this.#signal = signal;
    this.#resolve = resolve;
    signal.addEventListener('abort', this.#onAbort);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#sent) {
      controller.abort(new Error('the connection broke; the request is not sent again'));
    } else if (this.#signal.aborted || !this.#observer.mayStart()) {
      this.#isHeldBack = true;
      controller.abort(new Error('held back before it was sent'));
    } else {
      this.#sent = true;
    }
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (!this.#observer.head(status, headers)) {
      controller.abort(new Error('the answer is not wanted'));
    }
  }

  onResponseData(controller: Dispatcher.DispatchController, bytes: Buffer): void {
    const wait = this.#observer.data(bytes);
    if (wait !== undefined) {
      controller.pause();
      void wait.then(() => {
        controller.resume();
      });
    }
  }

  onResponseEnd(): void {
    this.#end({ kind: 'ended' });
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    const unsent = this.#isHeldBack ? 'held-back' : 'never-sent';
    this.#end({ kind: this.#sent ? 'broken' : unsent, detail: error.message });
  }

  #end(end: ExchangeEnd): void {
    this.#signal.removeEventListener('abort', this.#onAbort);
    this.#resolve(end);
  }
}
