/**
 * Decides what share of a fleet-wide limit each router may spend, by leases (after Doorman's quota leases and Gray and
 * Cheriton 1989). The sum of all shares stays within the limit whatever packets are lost, late or duplicated;
 * docs/fleet-design.md explains why. It must never count requests itself: the decision module does that.
 */
package pumicemoor.fleet.limits;
