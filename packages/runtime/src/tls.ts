/** Certificates of HTTPS servers, reloaded when their files change. */
import { readFileSync, unwatchFile, watchFile } from 'node:fs';
import type { Server } from 'node:https';

/** Paths of a certificate and its key, in PEM. */
export type TlsFiles = { readonly certificate: string; readonly key: string };

/** Contents of a certificate file and its key file. */
export type TlsContents = { readonly cert: Buffer; readonly key: Buffer };

/** Period in which the certificate file is checked for changes, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;

/** Reads both files; throws if either cannot be read. */
export function readTlsFiles(files: TlsFiles): TlsContents {
  return { cert: readFileSync(files.certificate), key: readFileSync(files.key) };
}

/** Returns the paths that two settings name, or undefined if both are absent; throws if only one is given. */
export function tlsFiles(certificate?: string, key?: string): TlsFiles | undefined {
  if (certificate === undefined && key === undefined) {
    return undefined;
  }
  if (certificate === undefined || key === undefined) {
    throw new Error('tls-certificate and tls-key must be given together');
  }
  return { certificate, key };
}

/**
 * Reloads the files when the certificate file changes. New connections use the new certificate; open ones keep theirs.
 * A new key has to be written before its certificate. Returns a function that stops watching the file.
 */
export function reloadOnChange(server: Server, files: TlsFiles): () => void {
  const reload = (): void => {
    try {
      server.setSecureContext(readTlsFiles(files));
    } catch {
      // The pair may be half written. The old one stays in use until the certificate file changes again.
    }
  };
  watchFile(files.certificate, { interval: CHECK_INTERVAL_MS, persistent: false }, reload);
  return () => {
    unwatchFile(files.certificate, reload);
  };
}
