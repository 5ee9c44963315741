/** The part of the logfmt library that is used; it brings no types. */
declare module "logfmt" {
  const logfmt: {
    /** One line of key=value pairs, quoted where needed. */
    stringify(fields: Readonly<Record<string, unknown>>): string;
  };
  export default logfmt;
}
