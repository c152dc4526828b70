/** Addresses of the form `host:port`. */

export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Splits an address at its last colon. */
export function parseAddress(address: string): HostPort {
  const separator = address.lastIndexOf(":");
  return {
    host: address.slice(0, separator),
    port: Number(address.slice(separator + 1)),
  };
}
