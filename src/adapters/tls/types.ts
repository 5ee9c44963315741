/** Where keys and certificates lie. */

/** A certificate and its key, as files in PEM form. */
export interface ICertificateFiles {
  readonly certificate: string;
  readonly key: string;
}

/** Files of a side that also checks the other side's certificate. */
export interface IMutualTlsFiles extends ICertificateFiles {
  /** Certificates of whoever may sign a peer's certificate. */
  readonly authority: string;
}
