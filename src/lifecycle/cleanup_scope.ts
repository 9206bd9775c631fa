/**
 * Resource ownership. Code that opens a resource registers a cleanup with the
 * scope of the resource's owner; closing the scope runs all its cleanups.
 */

import {setMaxListeners} from 'node:events';

type Cleanup = () => void | Promise<void>;

/** A set of cleanups that run in reverse order when the scope closes. */
export class CleanupScope {
  private readonly cleanups: Cleanup[] = [];
  private readonly controller = new AbortController();

  constructor() {
    // Each sleeping loop and each pending call adds a listener, so exceeding
    // the default limit of ten does not indicate a leak.
    setMaxListeners(0, this.controller.signal);
  }

  /** Aborted when the scope closes; pass it to calls that can block. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  get closed(): boolean {
    return this.controller.signal.aborted;
  }

  /** Registers a cleanup; runs it immediately if the scope is closed. */
  add(cleanup: Cleanup): void {
    if (this.closed) {
      void cleanup();
      return;
    }
    this.cleanups.push(cleanup);
  }

  /** Creates a child scope that closes when this one closes. */
  child(): CleanupScope {
    const scope = new CleanupScope();
    this.add(() => scope.close());
    return scope;
  }

  /** Calls `task` every `intervalMs` until the scope closes. */
  every(intervalMs: number, task: () => void): void {
    const timer = setInterval(task, intervalMs);
    this.add(() => clearInterval(timer));
  }

  /** Sleeps; resolves early, without an error, when the scope closes. */
  async sleep(milliseconds: number): Promise<void> {
    if (this.closed) return;
    await new Promise<void>((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this.signal.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, milliseconds);
      this.signal.addEventListener('abort', finish);
    });
  }

  /** Runs the cleanups, last registered first; a second call does nothing. */
  async close(): Promise<void> {
    if (this.closed) return;
    this.controller.abort();
    for (const cleanup of this.cleanups.reverse()) await cleanup();
    this.cleanups.length = 0;
  }
}
