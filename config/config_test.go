package config

import (
	"errors"
	"net/netip"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

var addr = netip.MustParseAddrPort("127.0.0.1:9")

func newTestConfig(t *testing.T) *Config {
	t.Helper()
	c, err := new(Config).Apply([]Change{
		Put(Customer{Name: "school", Weight: 1, KeyDigests: []string{Digest([]byte("k"))}}),
		Put(Model{Name: "m", ModelVersion: "v1"}),
		Put(Service{Name: "s", Once: []CallRule{{Method: "POST", PathPrefix: "/fares"}}}),
		Put(Target{Name: "e1", Serves: "m", ModelVersion: "v1", Address: addr, DataCentre: "dc", Slots: 4}),
		Put(Target{Name: "e2", Serves: "m", ModelVersion: "v2", Address: addr, DataCentre: "dc", Slots: 4}),
	})
	assert.NilError(t, err)
	return c
}

func TestApplyRejectsInvalidChanges(t *testing.T) {
	target := Target{Name: "e3", Serves: "m", ModelVersion: "v1", Address: addr, DataCentre: "dc", Slots: 1}
	putModified := func(change func(*Target)) Change {
		x := target
		change(&x)
		return Put(x)
	}
	tests := []struct {
		name  string
		ch    Change
		field string
	}{
		{"name", Put(Customer{Name: "No Spaces", Weight: 1}), "name"},
		{"weight", Put(Customer{Name: "c"}), "weight"},
		{"digest", Put(Customer{Name: "c", Weight: 1, KeyDigests: []string{"xyz"}}), "key_digests"},
		{"shared key", Put(Customer{Name: "c", Weight: 1, KeyDigests: []string{Digest([]byte("k"))}}), "key_digests"},
		{"model version", Put(Model{Name: "n"}), "model_version"},
		{"service named as model", Put(Service{Name: "m"}), "name"},
		{"call rule", Put(Service{Name: "x", Once: []CallRule{{Method: "POST", PathPrefix: "no"}}}), "once"},
		{"serves", putModified(func(x *Target) { x.Serves = "none" }), "serves"},
		{"target version", putModified(func(x *Target) { x.ModelVersion = "" }), "model_version"},
		{"orders to a service", putModified(func(x *Target) { x.Serves, x.ModelVersion, x.TakesOrders = "s", "", true }), "takes_orders"},
		{"address", putModified(func(x *Target) { x.Address = netip.AddrPort{} }), "address"},
		{"data centre", putModified(func(x *Target) { x.DataCentre = "" }), "data_centre"},
		{"slots", putModified(func(x *Target) { x.Slots = 0 }), "slots"},
		{"host", Put(Host{Name: "h", DataCentre: "dc"}), "peer"},
		{"remove unknown", Remove(KindCustomer, "nobody"), "name"},
		{"remove used", Remove(KindModel, "m"), "serves"},
		{"kind", Change{Action: ActionPut, Kind: "colour"}, "kind"},
		{"action", Change{Action: "paint", Kind: KindCustomer}, "action"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestConfig(t)
			before, _ := c.Encode()
			_, err := c.Apply([]Change{tc.ch})
			var invalid *InvalidError
			assert.Assert(t, errors.As(err, &invalid), "%v", err)
			assert.Equal(t, invalid.Field, tc.field)
			after, _ := c.Encode()
			assert.DeepEqual(t, string(after), string(before))
		})
	}
}

func TestNumbersAreNeverReused(t *testing.T) {
	c := newTestConfig(t)
	old := c.Customers[0].Number
	c, err := c.Apply([]Change{Remove(KindCustomer, "school")})
	assert.NilError(t, err)
	c, err = c.Apply([]Change{Put(Customer{Name: "school", Weight: 1})})
	assert.NilError(t, err)
	assert.Assert(t, c.Customers[0].Number > old)
	kept := c.Customers[0].Number
	c, err = c.Apply([]Change{Put(Customer{Name: "school", Weight: 5})})
	assert.NilError(t, err)
	assert.Equal(t, c.Customers[0].Number, kept)
}

func TestChangesToRestoresVersion(t *testing.T) {
	old := newTestConfig(t)
	now, err := old.Apply([]Change{
		Put(Customer{Name: "school", Weight: 9}),
		Put(Customer{Name: "new", Weight: 1}),
		Remove(KindTarget, "e2"),
	})
	assert.NilError(t, err)
	back, err := now.Apply(ChangesTo(now, old))
	assert.NilError(t, err)
	assert.Equal(t, back.Version, now.Version+1)
	assert.Equal(t, len(Diff(back, old)), 1, "only the number of the target that was removed differs")
}

func TestConsequencesWarn(t *testing.T) {
	tests := []struct {
		name string
		ch   Change
		want string
	}{
		{"last target", Remove(KindTarget, "e1"), "m is left without any target: its requests will be refused"},
		{"roll to a version", Put(Model{Name: "m", ModelVersion: "v3"}), "m is left without any target: its requests will be refused"},
		{"roll to a loaded version", Put(Model{Name: "m", ModelVersion: "v2"}), ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestConfig(t)
			next, err := c.Apply([]Change{tc.ch})
			assert.NilError(t, err)
			assert.Equal(t, slices.Contains(Consequences(c, next), tc.want), tc.want != "")
		})
	}
}

func TestDecodeChecksDigest(t *testing.T) {
	body, digest := newTestConfig(t).Encode()
	_, err := Decode(body, digest)
	assert.NilError(t, err)
	body[len(body)-2] ^= 1
	_, err = Decode(body, digest)
	assert.ErrorContains(t, err, "does not match")
}

func FuzzDecodeChange(f *testing.F) {
	f.Add([]byte(`{"action":"put","kind":"customer","name":"a","customer":{"name":"a","weight":1}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		ch, err := DecodeChange(body)
		if err != nil {
			return
		}
		next, err := new(Config).Apply([]Change{ch})
		if (next == nil) == (err == nil) {
			t.Fatalf("config %v and error %v", next, err)
		}
	})
}
