package pumicemoor.fleet.membership;

/** What is believed of a router; of two beliefs of one incarnation the later in this order holds. */
public enum RouterStatus {
    ALIVE,
    SUSPECT,
    DEAD,
    LEFT
}
