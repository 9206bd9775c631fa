/**
 * Renders the settings reference, `docs/settings.md`, from the schemas.
 */

import {z} from 'zod';
import {entrySettingsSchema} from '../entry/settings.js';
import {settingsSchema} from './settings.js';

const referenceNodeSchema = z.object({
  description: z.string().optional(),
  default: z.unknown().optional(),
  type: z.string().optional(),
  enum: z.array(z.string()).optional(),
  properties: z.record(z.string(), z.unknown()).optional(),
  required: z.array(z.string()).optional(),
});
type ReferenceNode = z.infer<typeof referenceNodeSchema>;

const PAGE_HEADER = `# Settings

The daemon reads one JSON file, named with \`bramleystepd --settings FILE\`. A
field that is not listed here is refused, and an error names the field, what
is wrong and the remedy. Times are in milliseconds. \`examples/*/settings\` has
one file per entry VM of the example sites.

This page is generated from the schema by \`npm run generate:settings\`; a test
fails if it is out of date.

| setting | default | meaning |
| --- | --- | --- |
`;

const ENTRY_SETTINGS_HEADER = `
## The entry daemon of a hosted site

The platform renders this file from \`deploy/settings.json\`. A field that is
not listed here is refused. The unit is in the name, milliseconds or seconds.

| setting | default | meaning |
| --- | --- | --- |
`;

/** Returns the page as Markdown. */
export function renderSettingsReference(): string {
  return (
    PAGE_HEADER +
    tableOf(settingsSchema) +
    ENTRY_SETTINGS_HEADER +
    tableOf(entrySettingsSchema)
  );
}

function tableOf(schema: z.ZodType): string {
  const root = z.toJSONSchema(schema, {io: 'input', unrepresentable: 'any'});
  return rowsOf('', referenceNodeSchema.parse(root)).join('');
}

function rowsOf(path: string, node: ReferenceNode): string[] {
  const {properties, required = []} = node;
  return Object.entries(properties ?? {}).flatMap(([name, value]) => {
    const child = referenceNodeSchema.parse(value);
    const childPath = path === '' ? name : `${path}.${name}`;
    if (child.properties) return rowsOf(childPath, child);
    return [row(childPath, child, required.includes(name))];
  });
}

function row(path: string, node: ReferenceNode, required: boolean): string {
  const withoutDefault = required ? 'required' : '–';
  const value =
    node.default === undefined
      ? withoutDefault
      : `\`${JSON.stringify(node.default)}\``;
  const choice = node.enum ? ` One of ${node.enum.join(', ')}.` : '';
  return `| \`${path}\` | ${value} | ${node.description ?? ''}${choice} |\n`;
}
