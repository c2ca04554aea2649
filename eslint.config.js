import simpleImportSort from 'eslint-plugin-simple-import-sort';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['**/dist/**', '**/node_modules/**'] },
  ...tseslint.configs.strict,
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    plugins: { 'simple-import-sort': simpleImportSort },
    rules: {
      '@typescript-eslint/consistent-type-definitions': ['error', 'type'],
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': ['error', { checksVoidReturn: false }],
      'simple-import-sort/imports': 'error',
      'max-lines': ['error', { max: 400, skipBlankLines: false }],
      eqeqeq: 'error',
    },
  },
  {
    files: [
      'packages/{cli,controller,entry,gateway,link,object-store,runtime,upstream}/src/**/*.ts',
      'platform/src/**/*.ts',
    ],
    ignores: ['**/*.test.ts', '**/testing/**', 'packages/runtime/src/checked-request.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          paths: [
            {
              name: 'node:http',
              importNames: ['request', 'get', 'Agent'],
              message: 'checkedRequest also checks the heads of answers',
            },
          ],
        },
      ],
    },
  },
);
