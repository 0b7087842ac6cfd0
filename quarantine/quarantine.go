// Package quarantine knows requests by what they ask for, so that one that comes again
// under another id is recognised.
//
// # Usage
//
//	f := (&quarantine.Content{Customer: name, Method: m, Host: h, URI: u, Body: b}).Fingerprint()
package quarantine
