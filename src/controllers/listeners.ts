/**
 * Typed listeners of one kind of event.
 */

export type Listener<T> = (event: T) => void;

/** Writes one short sentence to the log. */
export type LogFunction = (sentence: string) => void;

/** Calls its listeners in the order in which they were added. */
export class Listeners<T> {
  private readonly listeners = new Set<Listener<T>>();

  /** Adds a listener and returns the function that removes it. */
  add(listener: Listener<T>): () => void {
    // A wrapper per call, so that a listener that is added twice is called
    // twice and each removal removes one.
    const wrapped: Listener<T> = (event) => listener(event);
    this.listeners.add(wrapped);
    return () => this.listeners.delete(wrapped);
  }

  emit(event: T): void {
    for (const listener of [...this.listeners]) listener(event);
  }
}
