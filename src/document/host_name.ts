/**
 * Gets the name by which hosts are compared (RFC 3986, section 3.2.2): without
 * port, in lower case and without the dot that ends an absolute domain name.
 * @param authority Value of a Host header, or host of a route.
 * @returns The name; empty when there is none.
 */
export function getHostName(authority: string): string {
  const [name = ""] = /^(?:\[[^\]]*\]|[^:]*)/.exec(authority) ?? [];
  return name.replace(/\.$/, "").toLowerCase();
}
