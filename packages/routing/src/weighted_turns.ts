/** Deals requests out by weight so that shares hold over few requests too. */

/** One receiver and its weight. */
export interface WeightedOption<T> {
  readonly value: T;
  readonly weight: number;
}

/** Smooth weighted round robin. */
export class WeightedTurns<T> {
  private readonly credits: number[];

  /** `phase` (0 to 1) keeps many dealers from beginning with the same one. */
  constructor(
    private readonly options: ReadonlyArray<WeightedOption<T>>,
    phase = 0,
  ) {
    this.credits = options.map((option, index) =>
      index === 0 ? -phase * option.weight : 0,
    );
  }

  /** Returns the next receiver; undefined if no weight is positive. */
  next(): T | undefined {
    let total = 0;
    let best: number | undefined;
    for (const [index, option] of this.options.entries()) {
      if (option.weight <= 0) continue;
      total += option.weight;
      const credit = (this.credits[index] ?? 0) + option.weight;
      this.credits[index] = credit;
      if (best === undefined || credit > (this.credits[best] ?? 0)) {
        best = index;
      }
    }
    if (best === undefined) return undefined;
    this.credits[best] = (this.credits[best] ?? 0) - total;
    return this.options[best]?.value;
  }
}
