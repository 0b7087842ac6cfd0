package settings

import (
	"encoding/hex"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// operatorPrefix is the first part of the name of each section that declares an operator.
const operatorPrefix = "operator."

// Keys of an operator's section.
const (
	keyDigest = "key-sha256"
	keyRoles  = "roles"
)

const (
	allowedDigest = "64 hexadecimal digits, the SHA-256 digest of the operator's key"
	allowedRoles  = "some of read, plan and confirm, separated by commas"
)

func (p *parser) parseOperators() {
	for _, s := range p.ini.Sections() {
		if name, ok := strings.CutPrefix(s.Name(), operatorPrefix); ok {
			p.parseOperator(s, name)
		}
	}
}

func (p *parser) parseOperator(s *ini.Section, name string) {
	if name == "" || strings.ContainsAny(name, " :") {
		p.fail(s.Name(), "", "an operator's name must be set and have no spaces or colons")
	}
	for _, k := range s.KeyStrings() {
		if k != keyDigest && k != keyRoles {
			p.fail(s.Name(), k, "unknown key")
		}
	}
	op := Operator{Name: name, KeyDigest: s.Key(keyDigest).String()}
	if sum, err := hex.DecodeString(op.KeyDigest); err != nil || len(sum) != 32 {
		p.fail(s.Name(), keyDigest, "must be "+allowedDigest)
	}
	for _, r := range s.Key(keyRoles).Strings(",") {
		op.Roles = append(op.Roles, Role(r))
	}
	if len(op.Roles) == 0 || slices.ContainsFunc(op.Roles, unknownRole) {
		p.fail(s.Name(), keyRoles, "must be "+allowedRoles)
	}
	p.settings.Operators = append(p.settings.Operators, op)
}

func unknownRole(r Role) bool { return r != RoleRead && r != RolePlan && r != RoleConfirm }
