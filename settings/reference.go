package settings

import (
	"fmt"
	"strings"
)

// exampleValues are the values of the required keys in the annotated example.
var exampleValues = map[string]string{
	"host.name":        "entry-1",
	"host.data-centre": "innsbruck-1",
	"listen.caller":    "127.0.0.1:8080",
	"listen.control":   "127.0.0.1:8081",
	"listen.peer":      "127.0.0.1:8082",
	"fleet.key":        "change-me-to-a-long-secret",
	"platform.address": "127.0.0.1:9000",
}

// operatorExample declares an operator whose key is "example".
const operatorExample = `
# One section for each operator; the name follows the dot.
[operator.anna]
# ` + allowedDigest + `.
key-sha256 = 50d858e0985ecc7f60418aaf0cc5ab587f42c2570a884095a9e8ccacd0f6545c
# ` + allowedRoles + `.
roles = read, plan, confirm
`

// Reference returns an annotated example of a settings file with every key.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Settings of zinccoved. Keys without a value here are optional.\n")
	section := ""
	for i := range table {
		k := &table[i]
		if k.section != section {
			section = k.section
			fmt.Fprintf(&b, "\n[%s]\n", section)
		}
		value := k.def
		if v, ok := exampleValues[k.section+"."+k.name]; ok {
			value = v
		}
		fmt.Fprintf(&b, "# %s\n# Allowed: %s.", k.doc, k.allowed)
		if k.def != "" {
			fmt.Fprintf(&b, " Default: %s.", k.def)
		}
		fmt.Fprintf(&b, "\n%s = %s\n", k.name, value)
	}
	b.WriteString(operatorExample)
	return b.String()
}
