/**
 * Measures how the cost of each role grows with the size of a fleet: hollow routers (the real deciding code without
 * sockets, in virtual time), fits of the slopes, plots, tables. It must never be needed by serving.
 */
package pumicemoor.lab.scale;
