// Package limitfleet simulates processes that send requests to targets with request limits, in virtual time. Its driver
// injects lost and late messages, kills, freezes and cuts, and checks from what the targets received whether the limits
// were held and used. It is used by the property tests of core/sendgate.
package limitfleet
