/** Protection of HTTP servers from clients that do not behave. */
export { declaredLength } from './declared-length.js';
export type { CloseReason, HttpGuardOptions } from './http-guard.js';
export { GUARDED_SERVER_OPTIONS, HttpGuard } from './http-guard.js';
export { InputTurns } from './input-turns.js';
export type { Displaceable, Reservation } from './memory-budget.js';
export { MemoryBudget } from './memory-budget.js';
export type { BodyEnd, BodyOptions } from './request-body.js';
export { receiveBody } from './request-body.js';
