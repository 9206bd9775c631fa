/**
 * Ownership of resources. Whatever opens a resource registers how to close it
 * with the scope of its owner; closing the scope closes everything in it.
 */

import {setMaxListeners} from 'node:events';

type Cleanup = () => void | Promise<void>;

/** Closes what was registered, last first, and aborts its signal. */
export class CleanupScope {
  private readonly cleanups: Cleanup[] = [];
  private readonly controller = new AbortController();

  constructor() {
    // Each loop that sleeps and each call that waits adds a listener, so more
    // than the default of ten is no sign of a leak.
    setMaxListeners(0, this.controller.signal);
  }

  /** Aborted when the scope closes; pass it to calls that wait. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  get closed(): boolean {
    return this.controller.signal.aborted;
  }

  /** Registers a cleanup; runs it at once if the scope is closed. */
  add(cleanup: Cleanup): void {
    if (this.closed) {
      void cleanup();
      return;
    }
    this.cleanups.push(cleanup);
  }

  /** Creates a scope that closes with this one. */
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

  /** Waits; returns early, without an error, when the scope closes. */
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

  /** Runs the cleanups, last registered first. Safe to call twice. */
  async close(): Promise<void> {
    if (this.closed) return;
    this.controller.abort();
    for (const cleanup of this.cleanups.reverse()) await cleanup();
    this.cleanups.length = 0;
  }
}
