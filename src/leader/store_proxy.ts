/**
 * Relays store calls through other daemons. A leader that cannot reach the
 * store has another daemon end its lease, so that the next leader does not have
 * to wait for the lease to expire.
 */

export abstract class StoreProxy {
  /** Returns the peer address of a daemon that can reach the store. */
  abstract findDaemonWithStoreAccess(): Promise<string | undefined>;

  /**
   * Relays a call that ends the lease through the daemon at `address`. Returns
   * false if the call failed.
   */
  abstract endLease(address: string, lease: number): Promise<boolean>;
}
