package pumicemoor.fleet.membership;

/**
 * The status of a router. Of two records with the same incarnation, the one with the later status in this order wins.
 */
public enum RouterStatus {
    ALIVE,
    SUSPECT,
    DEAD,
    LEFT
}
