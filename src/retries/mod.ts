export { AllowanceAccount } from "./allowance_account.ts";
export {
  decideRetry,
  type RetryDecision,
  type RetryOptions,
  type RetryReason,
  type RetryState,
  type RetryStopReason,
} from "./decide_retry.ts";
export { ResendCounter, type ResendCounterOptions } from "./resend_counter.ts";
export { type RetryPriority, RetryThrottle } from "./retry_throttle.ts";
export { RefusalRate } from "./refusal_rate.ts";
