// Package operatorpb contains the generated messages of the operator's configuration file.
package operatorpb
