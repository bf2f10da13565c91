import checkFile from 'eslint-plugin-check-file';
import tseslint from 'typescript-eslint';

/** Layers from lowest to highest: a package may import only earlier ones. */
const PACKAGE_ORDER = [
  'inventory',
  'http-client',
  'store',
  'peer-protocol',
  'coordination',
  'routing',
  'relay',
  'proxy',
  'daemon',
  'cli',
  'test-support',
];

const layering = PACKAGE_ORDER.map((name, index) => ({
  files: [`packages/${name}/src/**/*.ts`],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        paths: [
          ...PACKAGE_ORDER.slice(index).map(later => ({
            name: `@cassiaknot/${later}`,
            message: 'A package may import only packages of lower layers.',
          })),
          ...(name === 'peer-protocol'
            ? []
            : [{name: 'ws', message: 'Only peer-protocol may import ws.'}]),
        ],
      },
    ],
  },
}));

export default tseslint.config(
  {
    ignores: [
      '**/dist/**',
      '**/node_modules/**',
      '**/*.mjs',
      '**/*.cjs',
      'journal/**',
      'target/**',
    ],
  },
  ...tseslint.configs.strictTypeChecked,
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    languageOptions: {
      parserOptions: {projectService: true},
    },
    plugins: {'check-file': checkFile},
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/explicit-module-boundary-types': 'off',
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        {considerDefaultExhaustiveForUnions: true},
      ],
      // The typings of nact and winston, and branded types, violate these rules.
      '@typescript-eslint/no-generated-empty-object-type': 'off',
      '@typescript-eslint/no-unsafe-class-instance-assignment': 'off',
      '@typescript-eslint/no-unnecessary-type-parameters': 'off',
      '@typescript-eslint/array-type': ['error', {default: 'array-simple'}],
      '@typescript-eslint/restrict-template-expressions': 'off',
      '@typescript-eslint/no-confusing-void-expression': 'off',
      '@typescript-eslint/no-unused-expressions': 'off',
      'check-file/filename-naming-convention': [
        'error',
        {'**/*.ts': 'SNAKE_CASE'},
        {ignoreMiddleExtensions: true},
      ],
      'func-style': ['error', 'declaration', {allowArrowFunctions: true}],
      'max-lines': ['error', {max: 450}],
      'max-depth': ['error', 3],
      curly: ['error', 'multi-line'],
      eqeqeq: 'error',
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ExportDefaultDeclaration',
          message: 'Use named exports.',
        },
      ],
      'prefer-const': 'error',
    },
  },
  ...layering,
);
