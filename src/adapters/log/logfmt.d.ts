/** Types for the used part of the logfmt library, which has none. */
declare module "logfmt" {
  const logfmt: {
    /** Formats one line of key=value pairs, quoted where needed. */
    stringify(fields: Readonly<Record<string, unknown>>): string;
    /** Parses one line; a key without a value is true. */
    parse(line: string): Readonly<Record<string, string | boolean | null>>;
  };
  export default logfmt;
}
