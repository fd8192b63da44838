/**
 * The operator's file: what an operator of this installation sets beyond what the platform gives, as YAML. It
 * owns the form, the defaults and the checks, one record for each section; it must never decide anything, nor
 * be needed where no file is named. Every key with its unit and default stands in deploy/operator.example.yaml.
 */
package pumicemoor.operator;
