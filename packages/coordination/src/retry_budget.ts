/** Limits retries to a fraction of the requests. */

export interface RetryBudgetOptions {
  /** Tokens added by each first attempt, for example 0.2. */
  readonly retriesPerRequest: number;
  /** Maximum number of tokens. */
  readonly maxTokens: number;
}

/** A token budget: requests add a fraction of a token, a retry takes one. */
export class RetryBudget {
  private tokens: number;

  constructor(private readonly options: RetryBudgetOptions) {
    this.tokens = options.maxTokens;
  }

  /** Records a first attempt. */
  recordRequest(): void {
    const {retriesPerRequest, maxTokens} = this.options;
    this.tokens = Math.min(maxTokens, this.tokens + retriesPerRequest);
  }

  /** Takes a token for one retry; returns false if there is none. */
  trySpend(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
