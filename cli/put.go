package cli

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"

	"zinccove.example/zinccove/config"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
)

// nameArg is the positional argument of commands that operate on one object.
type nameArg struct {
	Positional struct {
		Name string `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

func (n *nameArg) name() string { return n.Positional.Name }

// plan requests a plan of changes and prints it.
func (c *command) plan(changes ...config.Change) error {
	req := new(zinccovev1.PlanRequest)
	for i := range changes {
		body, err := json.Marshal(&changes[i])
		if err != nil {
			return err
		}
		req.ChangesJson = append(req.ChangesJson, body)
	}
	return c.requestPlan(req)
}

func (c *command) requestPlan(req *zinccovev1.PlanRequest) error {
	client, ctx, cancel, err := c.globals.client()
	if err != nil {
		return err
	}
	defer cancel()
	resp, err := client.Plan(ctx, req)
	if err != nil {
		return err
	}
	return c.globals.printPlan(resp.Plan)
}

type customerPut struct {
	command
	nameArg
	Weight     uint32   `long:"weight" default:"1" description:"part relative to the other customers"`
	KeyDigests []string `long:"key-digest" value-name:"SHA256" description:"hexadecimal SHA-256 digest of an API key; may be repeated"`
}

// Execute requests the plan and prints it.
func (c *customerPut) Execute([]string) error {
	return c.plan(config.Put(config.Customer{Name: c.name(), Weight: c.Weight, KeyDigests: c.KeyDigests}))
}

type modelPut struct {
	command
	nameArg
	ModelVersion string `long:"model-version" required:"yes" description:"version that targets must serve"`
}

// Execute requests the plan and prints it.
func (c *modelPut) Execute([]string) error {
	return c.plan(config.Put(config.Model{Name: c.name(), ModelVersion: c.ModelVersion}))
}

type servicePut struct {
	command
	nameArg
	Once []string `long:"once" value-name:"METHOD:/PATH" description:"calls that may not be repeated; METHOD can be *; may be repeated"`
}

// Execute requests the plan and prints it.
func (c *servicePut) Execute([]string) error {
	rules, err := parseRules(c.Once)
	if err != nil {
		return err
	}
	return c.plan(config.Put(config.Service{Name: c.name(), Once: rules}))
}

func parseRules(texts []string) ([]config.CallRule, error) {
	var rules []config.CallRule
	for _, text := range texts {
		method, path, ok := strings.Cut(text, ":")
		if !ok {
			return nil, usageError{fmt.Sprintf("once: %q is not METHOD:/PATH", text)}
		}
		rules = append(rules, config.CallRule{Method: method, PathPrefix: path})
	}
	return rules, nil
}

type targetPut struct {
	command
	nameArg
	Serves       string `long:"serves" required:"yes" description:"model or service"`
	ModelVersion string `long:"model-version" description:"version that a target of a model has loaded"`
	Address      string `long:"address" required:"yes" description:"IP address and port"`
	DataCentre   string `long:"data-centre" required:"yes" description:"data centre"`
	Slots        uint32 `long:"slots" required:"yes" description:"requests run at once"`
	TakesOrders  bool   `long:"takes-orders" description:"the target loads the version it is ordered to"`
	Leaving      bool   `long:"leaving" description:"the target receives no new requests"`
}

// Execute requests the plan and prints it.
func (c *targetPut) Execute([]string) error {
	addr, err := parseAddress("address", c.Address)
	if err != nil {
		return err
	}
	return c.plan(config.Put(config.Target{Name: c.name(), Serves: c.Serves, ModelVersion: c.ModelVersion,
		Address: addr, DataCentre: c.DataCentre, Slots: c.Slots, TakesOrders: c.TakesOrders, Leaving: c.Leaving}))
}

func parseAddress(field, text string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, usageError{fmt.Sprintf("%s: %q is not an IP address and a port", field, text)}
	}
	return addr, nil
}

type hostPut struct {
	command
	nameArg
	DataCentre string `long:"data-centre" required:"yes" description:"data centre"`
	Peer       string `long:"peer" required:"yes" description:"address of the router's datagrams"`
	Leaving    bool   `long:"leaving" description:"the host is about to stop"`
}

// Execute requests the plan and prints it.
func (c *hostPut) Execute([]string) error {
	addr, err := parseAddress("peer", c.Peer)
	if err != nil {
		return err
	}
	return c.plan(config.Put(config.Host{Name: c.name(), DataCentre: c.DataCentre, Peer: addr, Leaving: c.Leaving}))
}

type removeCommand struct {
	command
	nameArg
	kind config.Kind
}

// Execute requests the plan and prints it.
func (c *removeCommand) Execute([]string) error { return c.plan(config.Remove(c.kind, c.name())) }
