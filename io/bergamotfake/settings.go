package bergamotfake

import "fmt"

// EntrySettings returns the settings file of an entry without peers that uses the fake platform at the address platform.
// The parameter timing holds the lines of the section timing; operator is a name and a public key, as in the section trust.
func EntrySettings(name, centre, platform, timing, operator string) string {
	return fmt.Sprintf(`[entry]
name = %[1]s
centre = %[2]s
[listen]
callers = 127.0.0.1:0
operators = 127.0.0.1:0
[platform]
table = %[3]s
objects = %[3]s
weights = %[3]s
list = %[3]s
[timing]
%[4]s
[trust]
operators = %[5]s
`, name, centre, platform, timing, operator)
}
