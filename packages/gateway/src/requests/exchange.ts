/**
 * One HTTP exchange with an upstream, whose request is sent at most once.
 *
 * The HTTP library undici calls `onRequestStart` right before it writes the request, and again if it sends
 * the request a second time. At the first call the request can still be held back; a second call is refused.
 */
import type { IncomingHttpHeaders } from 'node:http';

import { isReasonPhrase } from '@hingescale/runtime/reason-phrase';
import type { Agent, Dispatcher } from 'undici';

/** The request of an exchange. */
export type ExchangeRequest = {
  readonly url: string;
  readonly method: Dispatcher.HttpMethod;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | Buffer | undefined;
};

/** Controls an exchange and receives its answer. */
export type ExchangeObserver = {
  /** Called right before the first byte is sent; false holds the request back. */
  readonly mayStart: () => boolean;
  /** Receives the status and headers; false ends the exchange. */
  readonly onHead: (status: number, headers: IncomingHttpHeaders) => boolean;
  /** Receives body bytes; a returned promise pauses the exchange until it resolves, a thrown error breaks it. */
  readonly onData: (bytes: Buffer) => Promise<void> | undefined;
};

/** How an exchange ended. */
export type ExchangeEnd =
  /** No byte of the request was sent, for example because there was no connection. */
  | { readonly kind: 'never-sent'; readonly detail: string }
  /** No byte was sent: once connected, the request was aborted or was no longer allowed to be sent. */
  | { readonly kind: 'held-back'; readonly detail: string }
  /** The connection broke, or this process ended the exchange. */
  | { readonly kind: 'broken'; readonly detail: string }
  /** The answer was received to its end. */
  | { readonly kind: 'ended' };

/** Runs an exchange. The returned promise never rejects. */
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

/** Maps the callbacks of undici to the observer and to the end of the exchange. */
class ExchangeHandler implements Dispatcher.DispatchHandler {
  readonly #observer: ExchangeObserver;
  readonly #signal: AbortSignal;
  readonly #resolve: (end: ExchangeEnd) => void;
  readonly #onAbort = (): void => {
    this.#controller?.abort(new Error('the exchange was aborted by the gateway'));
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
    statusMessage = '',
  ): void {
    if (!isReasonPhrase(statusMessage)) {
      controller.abort(new Error('the answer has a malformed reason phrase'));
      return;
    }
    if (!this.#observer.onHead(status, headers)) {
      controller.abort(new Error('the answer was rejected by the gateway'));
    }
  }

  onResponseData(controller: Dispatcher.DispatchController, bytes: Buffer): void {
    const wait = this.#observer.onData(bytes);
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
