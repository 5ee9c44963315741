// Lint rules: the recommended sets, plus the arrows between the layers.
import js from "@eslint/js";
import tseslint from "typescript-eslint";

const commonImports = [
  {
    group: ["node:*", "fs", "net", "http", "http2", "path", "os", "crypto"],
    message: "src/common is platform-free.",
  },
  {
    group: ["**/adapters/**", "**/daemon/**", "**/command_line/**"],
    message: "src/common imports nothing outside src/common.",
  },
  {
    group: ["**/stand_ins/**", "**/generated/**"],
    message: "src/common imports nothing outside src/common.",
  },
  {
    group: ["undici", "@grpc/*", "pino*", "clipanion", "prom-client"],
    message: "src/common reaches the outside through its ports.",
  },
];

/** The platform's names on the wire: only platform/ and deploy/ know them. */
const wireNames =
  "/(x-(attempt-id|deadline-ms|token-counts|prompt-prefix|tenant|expect-|not-executed|response-stamp|server-load|instance-id|weight-versions|request-priority|length-hint|model)|\\b(coldLeftMs|seqNo|innerPorts|gapTargetMs|formMs|apiKeys|maxAttempts|sloMs|pathPrefix|fenceToken|kvCapacity|loadsPerS)\\b)/i";

const commonGlobals = [
  "Date",
  "setTimeout",
  "setInterval",
  "setImmediate",
  "performance",
  "process",
  "fetch",
  "Buffer",
].map((name) => ({ name, message: "Time and chance are handed in." }));

export default tseslint.config(
  { ignores: ["dist", "target", "journal", "src/generated", "node_modules"] },
  js.configs.recommended,
  ...tseslint.configs.recommended,
  {
    files: ["**/*.ts"],
    rules: {
      "@typescript-eslint/no-unused-vars": [
        "error",
        { argsIgnorePattern: "^_" },
      ],
      "@typescript-eslint/consistent-type-imports": "error",
      "@typescript-eslint/naming-convention": [
        "error",
        {
          selector: "interface",
          format: ["PascalCase"],
          custom: { regex: "^I[A-Z]", match: true },
        },
        { selector: ["class", "enum", "typeAlias"], format: ["PascalCase"] },
        { selector: "enumMember", format: ["PascalCase"] },
      ],
      "func-style": ["error", "declaration", { allowArrowFunctions: true }],
      eqeqeq: "error",
      "no-console": "error",
    },
  },
  {
    files: ["src/common/**/*.ts"],
    ignores: ["**/*_test.ts"],
    rules: {
      "no-restricted-imports": ["error", { patterns: commonImports }],
      "no-restricted-globals": ["error", ...commonGlobals],
      "no-restricted-properties": [
        "error",
        { object: "Math", property: "random", message: "Hand chance in." },
      ],
    },
  },
  {
    files: ["src/**/*.ts", "bench/**/*.ts"],
    rules: {
      "no-restricted-syntax": [
        "error",
        {
          selector: `Literal[value=${wireNames}]`,
          message: "Names of the platform's wire stay in platform/.",
        },
        {
          selector: `Property[key.name=${wireNames}]:not([key.name='pathPrefix'])`,
          message: "Names of the platform's wire stay in platform/.",
        },
      ],
    },
  },
  {
    files: ["src/adapters/**/*.ts"],
    rules: {
      "no-restricted-imports": [
        "error",
        {
          patterns: [
            {
              group: ["**/daemon/**", "**/command_line/**", "**/stand_ins/**"],
              message: "Adapters know src/common only.",
            },
          ],
        },
      ],
    },
  },
  {
    files: ["src/**/*_test.ts", "test/**/*.ts"],
    rules: { "@typescript-eslint/no-unused-expressions": "off" },
  },
  {
    files: ["bench/**/*.ts", "src/stand_ins/embedded/**/*.ts"],
    rules: { "no-console": "off" },
  },
);
