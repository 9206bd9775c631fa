/** Entries of another writer among those of the workers. */

/** Within the size of a value that the store accepts. */
const NESTING_DEPTH = 300_000;

/**
 * Returns entries that name no worker to use, by name. They have a place for a
 * single task, so that they would be preferred for small ones.
 */
export function oddWorkerEntries(
  service: string,
): ReadonlyArray<readonly [string, string]> {
  const entry = (changes: object) =>
    JSON.stringify({
      service,
      address: '127.0.0.1:9',
      zone: 'zone-1',
      state: 'ready',
      capacity: {cpu: 1_000, memMb: 1_000, gpu: 1},
      labels: ['kind', 'rack-0'],
      machine: 'odd-machine',
      born: 1,
      ...changes,
    });
  const withText = (field: string, text: string) =>
    entry({[field]: '@'}).replace('"@"', text);
  const nested = '['.repeat(NESTING_DEPTH) + ']'.repeat(NESTING_DEPTH);
  return [
    ['port-too-large', entry({address: '127.0.0.1:99999'})],
    ['port-0', entry({address: '127.0.0.1:0'})],
    ['address-too-large', entry({address: '999.1.1.1:80'})],
    ['nested', nested],
    ['nested-objects', '{"a":'.repeat(NESTING_DEPTH / 2) + '1'],
    ['nested-capacity', withText('capacity', nested)],
    ['nested-elsewhere', withText('comment', nested)],
    ['infinite-birth', withText('born', '1e999')],
    ['large-birth', withText('born', '1e300')],
    ['fractional-birth', withText('born', '1.5')],
    ['large-capacity', withText('capacity', '{"cpu":1e300,"gpu":1e300}')],
    ['negative-capacity', withText('capacity', '{"cpu":-1,"gpu":-1}')],
    ['large-remaining-time', withText('remainingMs', '1e300')],
    ['no-service', entry({service: 7})],
    ['bytes', '\u0000\ufffd{'],
  ];
}
