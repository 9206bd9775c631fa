/** What a replayed load came to, for the callers and for the workers. */

/** What the callers of one queue got; shares of the work that they asked for. */
export interface QueueOutcome {
  readonly jobs: number;
  readonly onTime: number;
  /** Within three times the objective, those on time included. */
  readonly useful: number;
}

export interface LoadOutcome {
  readonly queues: ReadonlyMap<string, QueueOutcome>;
  /** Core-seconds that preemptions threw away. */
  readonly lostCoreSeconds: number;
  /** Stops of whole units for other work. */
  readonly preemptions: number;
  readonly acceleratorUtilization: number;
  /** Longest wait of a job within its customer's guarantee, in milliseconds. */
  readonly longestGuaranteedWaitMs: number;
  readonly rounds: number;
  readonly slowestRoundMs: number;
  readonly roundsMs: number;
}
