/**
 * Decides which members the whole fleet ejects (outlier ejection): routers send failure reports with the evidence of
 * their decision modules, and one leader with the votes of a majority turns the reports into ejections. It never ejects
 * more than a configured share of a tier at once. It must never judge by evidence of its own.
 */
package pumicemoor.fleet.verdicts;
