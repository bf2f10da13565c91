/** Boolean that follows its input only once the input has been stable. */
export class SettledFlag {
  private value = false;
  private differsSinceMs: number | undefined;

  constructor(private readonly settleMs: number) {}

  /** Returns the settled value for the current input. */
  update(input: boolean, nowMs: number): boolean {
    if (input === this.value) {
      this.differsSinceMs = undefined;
      return this.value;
    }
    this.differsSinceMs ??= nowMs;
    if (nowMs - this.differsSinceMs >= this.settleMs) this.set(input);
    return this.value;
  }

  /** Sets the value at once. */
  set(value: boolean): void {
    this.value = value;
    this.differsSinceMs = undefined;
  }
}
