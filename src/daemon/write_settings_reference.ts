/**
 * Entry point of `npm run generate:settings`; writes `docs/settings.md`.
 */

import {writeFile} from 'node:fs/promises';
import {renderSettingsReference} from './settings_reference.js';

const PAGE = new URL('../../../docs/settings.md', import.meta.url);

await writeFile(PAGE, renderSettingsReference());
