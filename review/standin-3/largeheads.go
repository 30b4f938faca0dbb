package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// largeHeads sends requests whose heads are larger than 64 KiB, within the limit of the
// configuration in force.
func largeHeads(dir string, trouble bool) (broken bool, err error) {
	f, err := newFleet(dir)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.maxHeaderBytes = 128 << 10
	if err := f.startLLM(4, 3); err != nil {
		return false, err
	}
	parts := 7000
	if !trouble {
		parts = 3500
	}
	var list strings.Builder
	for n := range parts {
		fmt.Fprintf(&list, "%08x:9,", 0x10000000+n)
	}
	denied, served := 0, 0
	const requests = 60
	for n := range requests {
		id := fmt.Sprintf("tone-%d", n)
		conn, err := net.DialTimeout("tcp4", f.entries[n%len(f.entries)].front, time.Second)
		if err != nil {
			return false, err
		}
		_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
		head := fmt.Sprintf("POST /tone/%s HTTP/1.1\r\nHost: loja.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 6000\r\nX-Credential: chave-um\r\nX-Model: %s\r\nX-Token-Count: 979,92\r\nX-Prompt-Prefix: %s%x:3\r\nContent-Length: 6\r\n\r\n", id, id, modelName, list.String(), n)
		f.log("sent     %s with a head of %d bytes; maxHeaderBytes in force is %d", id, len(head), f.maxHeaderBytes)
		_, _ = fmt.Fprint(conn, head, "prompt")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			f.log("answered %s no answer: %v", id, err)
		} else {
			f.log("answered %s %d, signature %q", id, resp.StatusCode, resp.Header.Get("X-Response-Signature"))
			switch {
			case resp.StatusCode == http.StatusOK:
				served++
			case resp.StatusCode/100 == 4 && resp.StatusCode != 408 && resp.StatusCode != 421 && resp.StatusCode != 429 && resp.Header.Get("X-Response-Signature") == "":
				denied++
			}
		}
		_ = conn.Close()
	}
	allowed := 5 + requests/500
	result := fmt.Sprintf("%d of %d proper requests ended with a 4xx of the entries, %d allowed; %d served", denied, requests, allowed, served)
	f.log("result   %s", result)
	fmt.Println(result)
	return denied > allowed, nil
}
