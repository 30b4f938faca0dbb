package engine

import (
	"container/list"
	"hash/fnv"
)

// blockBytes is the size of one block of a prompt in the prefix cache.
const blockBytes = 64

// prefixCache remembers prompts in blocks; a block's key covers everything
// before it. The least recently used blocks are dropped.
type prefixCache struct {
	capacity     int
	blocks       map[uint64]*list.Element
	order        *list.List
	hits, misses int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, blocks: map[uint64]*list.Element{}, order: list.New()}
}

// take stores the prompt's blocks and returns how many bytes were missing.
func (c *prefixCache) take(prompt string) (missing int) {
	hash := fnv.New64a()
	hit := true
	for start := 0; start < len(prompt); start += blockBytes {
		block := prompt[start:min(start+blockBytes, len(prompt))]
		_, _ = hash.Write([]byte(block))
		element, ok := c.blocks[hash.Sum64()]
		hit = hit && ok
		if hit {
			c.hits++
		} else {
			c.misses++
			missing += len(block)
		}
		if ok {
			c.order.MoveToFront(element)
			continue
		}
		c.store(hash.Sum64())
	}
	return missing
}

func (c *prefixCache) store(key uint64) {
	if c.capacity <= 0 {
		return
	}
	if len(c.blocks) >= c.capacity {
		oldest := c.order.Back()
		delete(c.blocks, oldest.Value.(uint64))
		c.order.Remove(oldest)
	}
	c.blocks[key] = c.order.PushFront(key)
}
