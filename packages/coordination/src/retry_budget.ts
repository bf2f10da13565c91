/** Bounds retries to a share of the traffic. */

/** Share and reserve of a {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries earned by each first attempt, for example 0.2. */
  readonly retriesPerRequest: number;
  /** Most retries that can be saved up. */
  readonly maxSaved: number;
}

/** Earns a fraction of a retry with each request and spends whole ones. */
export class RetryBudget {
  private saved: number;

  constructor(private readonly options: RetryBudgetOptions) {
    this.saved = options.maxSaved;
  }

  /** Records a first attempt. */
  recordRequest(): void {
    const {retriesPerRequest, maxSaved} = this.options;
    this.saved = Math.min(maxSaved, this.saved + retriesPerRequest);
  }

  /** Takes one retry if one is left. */
  trySpend(): boolean {
    if (this.saved < 1) return false;
    this.saved -= 1;
    return true;
  }
}
