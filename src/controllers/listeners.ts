/**
 * Typed event listeners, and the signature of log functions.
 */

export type Listener<T> = (event: T) => void;

/** Writes one line to the log. */
export type LogFunction = (message: string) => void;

/** Calls listeners synchronously, in the order in which they were added. */
export class Listeners<T> {
  private readonly listeners = new Set<Listener<T>>();

  /** Adds a listener and returns the function that removes it. */
  add(listener: Listener<T>): () => void {
    // The wrapper makes each registration distinct: a listener that is added
    // twice is called twice, and each removal removes one registration.
    const wrapped: Listener<T> = (event) => listener(event);
    this.listeners.add(wrapped);
    return () => this.listeners.delete(wrapped);
  }

  emit(event: T): void {
    for (const listener of [...this.listeners]) listener(event);
  }
}
