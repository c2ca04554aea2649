/** Handles completion requests in the OpenAI format, streamed or as one complete response. */
import type { CompletionRequest, CompletionShape } from '@hingescale/core';
import { estimateTokens, meetsServiceLevel, parseCompletion, ProblemError } from '@hingescale/core';
import { monotonicMs, sha256 } from '@hingescale/runtime';
import type { Request, Response } from 'express';

import type { StoredAnswer } from '../keys/key-messages.js';
import type { Permit } from '../limits/admission.js';
import type { AdmittedRequest } from '../requests/completion-run.js';
import { CompletionRun } from '../requests/completion-run.js';
import { PlainWriter, sendAnswer, StreamWriter } from './answer-writer.js';
import { allows } from './authenticate.js';
import type { CallerServices } from './caller-services.js';
import { runKeyed } from './keyed.js';
import type { RequestContext } from './request-context.js';

/** Handles one completion request: validates it, runs it under its idempotency key if any, and sends the answer. */
export async function handleCompletion(
  services: CallerServices,
  shape: CompletionShape,
  context: RequestContext,
  request: Request,
  response: Response,
): Promise<void> {
  const completion = validateCompletion(shape, context, request.body);
  const disconnected = new AbortController();
  response.on('close', () => {
    // A keyed request continues after its caller disconnects, so that a later delivery finds its answer.
    if (!response.writableFinished && context.key === undefined) {
      disconnected.abort();
    }
  });
  const caller: CompletionCall = {
    services,
    context,
    completion,
    response,
    disconnected: disconnected.signal,
  };
  const { answer, replayed } = await runKeyed({
    keys: services.keys,
    instance: services.instance,
    context,
    fingerprint: sha256(JSON.stringify([shape, request.body])),
    run: () => (completion.stream ? runStream(caller) : runPlain(caller)),
  });
  if (!response.headersSent) {
    sendAnswer(response, answer, replayed);
  }
}

type CompletionCall = {
  readonly services: CallerServices;
  readonly context: RequestContext;
  readonly completion: CompletionRequest;
  readonly response: Response;
  /** Aborted when the caller of a request without an idempotency key disconnects. */
  readonly disconnected: AbortSignal;
};

function validateCompletion(
  shape: CompletionShape,
  context: RequestContext,
  body: unknown,
): CompletionRequest {
  const parsed = parseCompletion(shape, body);
  if (!parsed.ok) {
    throw new ProblemError({
      status: 400,
      code: 'malformed-body',
      detail: parsed.message,
    });
  }
  const { model, adapter } = parsed.request;
  const { configuration, workspace } = context;
  const declared = configuration.models.get(model);
  if (declared === undefined) {
    const detail = `model ${model} is not declared`;
    throw new ProblemError({ status: 404, code: 'unknown-model', detail });
  }
  if (!allows(configuration.workspaces.get(workspace)?.models ?? [], model)) {
    const detail = `workspace ${workspace} may not use model ${model}`;
    throw new ProblemError({ status: 403, code: 'model-not-allowed', detail });
  }
  if (adapter !== undefined && !declared.adapters.includes(adapter)) {
    const detail = `model ${model} has no adapter ${adapter}`;
    throw new ProblemError({ status: 404, code: 'unknown-model', detail });
  }
  return parsed.request;
}

async function runStream(call: CompletionCall): Promise<StoredAnswer> {
  const { response, context } = call;
  const writer = new StreamWriter(response, context.key !== undefined);
  try {
    const ranOn = await runAdmitted(call, writer);
    return writer.finish(ranOn);
  } catch (error) {
    if (response.headersSent && error instanceof ProblemError) {
      writer.fail(error.toDocument(context.requestId));
    }
    throw error;
  }
}

async function runPlain(call: CompletionCall): Promise<StoredAnswer> {
  const writer = new PlainWriter();
  const ranOn = await runAdmitted(call, writer);
  return writer.finish(call.completion, call.context.requestId, ranOn);
}

async function runAdmitted(
  call: CompletionCall,
  sink: StreamWriter | PlainWriter,
): Promise<string> {
  const { services, context, completion, disconnected } = call;
  const { workspace, deadline, requestId, repeatable } = context;
  const { model, prompt } = completion;
  const priority = services.policies.priority({
    workspace,
    model,
    streaming: completion.stream,
    promptTokens: estimateTokens(prompt),
    waitedMs: 0,
  });
  const startedAt = monotonicMs();
  const admission = { model, workspace, priority, deadline, gone: disconnected };
  let permit: Permit | undefined;
  try {
    permit = await services.admission.admit(admission);
    const waitedMs = monotonicMs() - startedAt;
    services.metrics.histogram('queue_wait').record(waitedMs);
    const admitted: AdmittedRequest = {
      requestId,
      workspace,
      request: completion,
      repeatable: repeatable && context.key === undefined,
      priority,
      deadline,
      gone: disconnected,
    };
    const result = await new CompletionRun(services.run, admitted, sink).run();
    recordServiceLevel(call, waitedMs + result.firstTokenMs, result.betweenTokensMs);
    return result.ranOn;
  } catch (error) {
    if (!disconnected.aborted) {
      services.burn.recordRequest(workspace, model, false, undefined);
    }
    throw error;
  } finally {
    permit?.release();
  }
}

// Without a declared service level for its model, every completed request counts as good.
function recordServiceLevel(
  call: CompletionCall,
  firstTokenMs: number,
  betweenTokensMs: number,
): void {
  const { services, context, completion } = call;
  const levels = [...context.configuration.serviceLevels.values()];
  const level = levels.find(candidate => candidate.model === completion.model);
  const good = level === undefined || meetsServiceLevel(level, firstTokenMs, betweenTokensMs);
  services.burn.recordRequest(context.workspace, completion.model, good, firstTokenMs);
}
