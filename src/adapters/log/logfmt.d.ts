/** The part of the logfmt library that is used; it brings no types. */
declare module "logfmt" {
  const logfmt: {
    /** One line of key=value pairs, quoted where needed. */
    stringify(fields: Readonly<Record<string, unknown>>): string;
    /** The fields of one line; a key without a value is true. */
    parse(line: string): Readonly<Record<string, string | boolean | null>>;
  };
  export default logfmt;
}
