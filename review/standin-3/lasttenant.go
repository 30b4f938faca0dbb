package main

import (
	"fmt"
	"net/http"
	"time"
)

// lastTenant takes the last tenant with its keys away in a new version of the configuration.
// Without the disruption one of its two keys stays.
func lastTenant(dir string, trouble bool) (broken bool, err error) {
	f, err := newFleet(dir)
	if err != nil {
		return false, err
	}
	defer f.close()
	for n := range 2 {
		if _, err := f.startServer(n+1, "desk", "norte-a"); err != nil {
			return false, err
		}
	}
	routes := []map[string]any{route("book", "/book/", "unsafe", "desk"), route("read", "/read/", "safe", "desk")}
	f.configure(3, routes, []string{"desk"}, []map[string]any{{"name": "banda", "apiKeys": []string{"chave-um", "chave-dois"}}})
	for n := range 3 {
		if err := f.startEntry(n+1, "norte-a", "norte"); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	for i, e := range f.entries {
		f.send(e, http.MethodPost, "/book/before", "chave-um", fmt.Sprintf("before-%d", i))
		f.send(e, http.MethodPost, "/book/before", "chave-inventada", fmt.Sprintf("unknown-%d", i))
	}
	left := []map[string]any{}
	if !trouble {
		left = append(left, map[string]any{"name": "banda", "apiKeys": []string{"chave-dois"}})
	}
	acked := f.configure(8, routes, []string{"desk"}, left)
	// Revoked keys have revokeMs of 5 s.
	time.Sleep(time.Until(acked.Add(6 * time.Second)))
	ran := 0
	for i, e := range f.entries {
		for _, key := range []string{"chave-um", "chave-inventada"} {
			id := fmt.Sprintf("after-%s-%d", key, i)
			f.send(e, http.MethodPost, "/book/after", key, id)
			for _, s := range f.servers {
				if _, did := s.ran(id); did {
					ran++
					what := "the key was taken away"
					if key == "chave-inventada" {
						what = "no configuration ever held the key"
					}
					f.log("BROKEN   %s ran with key %s %.1f s after the acknowledgement of configuration 8: %s", id, key, time.Since(acked).Seconds(), what)
				}
			}
		}
	}
	fmt.Printf("%d of 6 requests ran whose key is in no configuration in force\n", ran)
	f.log("result   %d of 6 requests ran whose key is in no configuration in force", ran)
	return ran > 0, nil
}
