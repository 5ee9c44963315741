// Lint rules: the recommended sets, plus the imports allowed between layers.
import js from "@eslint/js";
import tseslint from "typescript-eslint";

const commonImports = [
  {
    group: ["node:*", "fs", "net", "http", "http2", "path", "os", "crypto"],
    message: "src/common must not depend on Node.js.",
  },
  {
    group: ["**/adapters/**", "**/daemon/**", "**/command_line/**"],
    message: "src/common must not import from outside src/common.",
  },
  {
    group: ["**/stand_ins/**", "**/generated/**"],
    message: "src/common must not import from outside src/common.",
  },
  {
    group: ["undici", "@grpc/*", "pino*", "clipanion", "prom-client"],
    message: "src/common does I/O only through its interfaces.",
  },
];

/** Names in the platform's wire format, used only in platform/ and deploy/. */
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
].map((name) => ({ name, message: "Use the injected clock, timers and I/O." }));

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
        {
          object: "Math",
          property: "random",
          message: "Use the injected random source.",
        },
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
          message: "Platform wire names belong in platform/.",
        },
        {
          selector: `Property[key.name=${wireNames}]:not([key.name='pathPrefix'])`,
          message: "Platform wire names belong in platform/.",
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
              message: "src/adapters may import only from src/common.",
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
