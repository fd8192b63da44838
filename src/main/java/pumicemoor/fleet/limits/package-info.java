/**
 * Decides what part of a fleet's limit a router may spend, by leases (after Doorman's quota leases and Gray and
 * Cheriton 1989). The sum of all parts stays within the limit whatever packets are lost, late or doubled; why stands in
 * docs/fleet-design.md. It must never count a request itself: that the decision module does.
 */
package pumicemoor.fleet.limits;
