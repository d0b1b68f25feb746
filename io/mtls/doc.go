// Package mtls authenticates the system's processes to each other by TLS 1.3
// with certificates on both sides, and the entry to its callers.
//
// A certificate names its holder's fleet and role in a URI. Addresses are given
// to other instances, so that names of hosts prove nothing here. A nil
// *Credentials stands for plain TCP, which every method lets pass.
package mtls
