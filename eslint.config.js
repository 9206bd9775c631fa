import tseslint from 'typescript-eslint';

// The rules follow the Google TypeScript Style Guide. Formatting is left to
// prettier.
export default tseslint.config(
  {ignores: ['dist/**', 'target/**', 'node_modules/**']},
  ...tseslint.configs.recommended,
  {
    files: [
      'src/**/*.ts',
      'platform/**/*.ts',
      'emulator/**/*.ts',
      'soak/**/*.ts',
      'test/**/*.ts',
    ],
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          // node:test collects the promises of its own calls.
          allowForKnownSafeCalls: [
            {
              from: 'package',
              name: ['test', 'it', 'describe'],
              package: 'node:test',
            },
          ],
        },
      ],
      '@typescript-eslint/no-misused-promises': 'error',
      '@typescript-eslint/await-thenable': 'error',
      '@typescript-eslint/array-type': ['error', {default: 'array-simple'}],
      '@typescript-eslint/consistent-type-definitions': ['error', 'interface'],
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/explicit-member-accessibility': [
        'error',
        {accessibility: 'no-public'},
      ],
      '@typescript-eslint/prefer-readonly': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        {considerDefaultExhaustiveForUnions: true},
      ],
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^_', varsIgnorePattern: '^_'},
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'default', format: ['camelCase']},
        {selector: 'import', format: null},
        {
          selector: 'variable',
          modifiers: ['const', 'global'],
          format: ['camelCase', 'UPPER_CASE'],
        },
        {selector: 'variable', format: ['camelCase']},
        {
          selector: 'parameter',
          format: ['camelCase'],
          leadingUnderscore: 'allow',
        },
        {
          selector: 'classProperty',
          modifiers: ['static', 'readonly'],
          format: ['camelCase', 'UPPER_CASE'],
        },
        {selector: 'typeLike', format: ['PascalCase']},
        {selector: 'enumMember', format: ['UPPER_CASE']},
        {selector: 'objectLiteralProperty', format: null},
        {selector: 'objectLiteralMethod', format: null},
        {selector: 'typeProperty', format: ['camelCase']},
      ],
      curly: ['error', 'multi-line'],
      eqeqeq: ['error', 'always', {null: 'ignore'}],
      'max-lines': ['error', {max: 500, skipBlankLines: true}],
      'max-lines-per-function': [
        'error',
        {max: 60, skipBlankLines: true, skipComments: true},
      ],
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ExportDefaultDeclaration',
          message: 'Use named exports.',
        },
        {
          selector: 'PropertyDefinition > PrivateIdentifier',
          message: 'Use the private keyword instead of #names.',
        },
        {
          selector: 'TSEnumDeclaration[const=true]',
          message: 'Use a plain enum or a union of string literals.',
        },
      ],
      'no-var': 'error',
      'prefer-const': 'error',
      'no-console': 'error',
    },
  },
  {
    // Command-line programs write to the terminal.
    files: ['src/cli/**/*.ts', 'src/demo/**/*.ts', 'src/measure/**/*.ts'],
    rules: {'no-console': 'off'},
  },
  {
    // A describe block holds all tests of one behaviour.
    files: ['test/**/*.ts'],
    rules: {'max-lines-per-function': 'off'},
  },
);
