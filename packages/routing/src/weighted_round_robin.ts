/** Distributes requests by weight, accurately even over few requests. */

/** A value and its weight. */
export interface WeightedOption<T> {
  readonly value: T;
  readonly weight: number;
}

/** Smooth weighted round robin. */
export class WeightedRoundRobin<T> {
  private readonly currentWeights: number[];

  /** Different phases (0 to 1) keep instances from starting with the same value. */
  constructor(
    private readonly options: ReadonlyArray<WeightedOption<T>>,
    phase = 0,
  ) {
    this.currentWeights = options.map((option, index) =>
      index === 0 ? -phase * option.weight : 0,
    );
  }

  /** Returns the next value, or undefined if no weight is positive. */
  next(): T | undefined {
    let totalWeight = 0;
    let best: number | undefined;
    for (const [index, option] of this.options.entries()) {
      if (option.weight <= 0) continue;
      totalWeight += option.weight;
      const currentWeight = (this.currentWeights[index] ?? 0) + option.weight;
      this.currentWeights[index] = currentWeight;
      if (
        best === undefined ||
        currentWeight > (this.currentWeights[best] ?? 0)
      ) {
        best = index;
      }
    }
    if (best === undefined) return undefined;
    this.currentWeights[best] = (this.currentWeights[best] ?? 0) - totalWeight;
    return this.options[best]?.value;
  }
}
